#pragma once

/// \file
/// Public header of the network library: HTTP server, client and responses.

#include "Zincstep/Net/ErrorResponse.h"
#include "Zincstep/Net/HttpClient.h"
#include "Zincstep/Net/HttpMessage.h"
#include "Zincstep/Net/HttpServer.h"
