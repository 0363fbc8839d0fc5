#pragma once

/// \file
/// Public header of the peer library: messages between daemons.

#include "Zincstep/Peer/PeerMessage.h"
#include "Zincstep/Peer/PeerTransport.h"
