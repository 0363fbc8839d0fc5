#pragma once

/// \file Public header of the pool library: the upstreams of services, the
/// layers of a model that each one holds or should hold, and the chains that
/// requests take through them.

#include "Zincstep/Pool/CallLimits.h"
#include "Zincstep/Pool/ChainChooser.h"
#include "Zincstep/Pool/CountedControl.h"
#include "Zincstep/Pool/DemandMeter.h"
#include "Zincstep/Pool/DemandTargets.h"
#include "Zincstep/Pool/DomainChoice.h"
#include "Zincstep/Pool/DomainLayout.h"
#include "Zincstep/Pool/DomainRoom.h"
#include "Zincstep/Pool/FirstStageLoad.h"
#include "Zincstep/Pool/LiveUpstream.h"
#include "Zincstep/Pool/LoadFeatures.h"
#include "Zincstep/Pool/LoadSurvey.h"
#include "Zincstep/Pool/LossEvidence.h"
#include "Zincstep/Pool/PeerWork.h"
#include "Zincstep/Pool/PlacementPlanner.h"
#include "Zincstep/Pool/ServiceChooser.h"
#include "Zincstep/Pool/UpstreamControl.h"
#include "Zincstep/Pool/UpstreamDirectory.h"
#include "Zincstep/Pool/UpstreamReach.h"
