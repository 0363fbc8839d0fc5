#pragma once

/// \file
/// Public header of the cluster library: the daemon's view of the
/// configuration, the upstreams and the other daemons, its staleness, and the
/// leader of layer placement.

#include "Zincstep/Cluster/AsyncStore.h"
#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Cluster/CountedStore.h"
#include "Zincstep/Cluster/ItemList.h"
#include "Zincstep/Cluster/PlacementController.h"
#include "Zincstep/Cluster/PlanRunner.h"
#include "Zincstep/Cluster/PrefixMirror.h"
#include "Zincstep/Cluster/StoreFollower.h"
