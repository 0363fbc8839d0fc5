#pragma once

/// \file
/// Public header of the cluster library: what a daemon believes of the
/// configuration, the upstreams and its peers, how old that is, and the
/// duty to place layers.

#include "Zincstep/Cluster/AsyncStore.h"
#include "Zincstep/Cluster/ClusterView.h"
#include "Zincstep/Cluster/CountedStore.h"
#include "Zincstep/Cluster/ItemList.h"
#include "Zincstep/Cluster/PlacementController.h"
#include "Zincstep/Cluster/PlanRunner.h"
#include "Zincstep/Cluster/PrefixMirror.h"
#include "Zincstep/Cluster/StoreFollower.h"
