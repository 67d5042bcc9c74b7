#ifndef JASMINEHATCH_NET_H_
#define JASMINEHATCH_NET_H_

/// @file
/// @brief Umbrella header of the network library: HTTP server and client on an
/// Asio loop.

#include "jasminehatch/detail/http/http_client.h"
#include "jasminehatch/detail/http/http_message.h"
#include "jasminehatch/detail/http/http_server.h"
#include "jasminehatch/detail/http/ip_port.h"
#include "jasminehatch/detail/http/response_writer.h"
#include "jasminehatch/detail/process/signal_receiver.h"
#include "jasminehatch/detail/process/system_memory.h"
#include "jasminehatch/detail/rpc/json_rpc_server.h"
#include "jasminehatch/detail/stream/server_exchange.h"
#include "jasminehatch/detail/stream/stream_client.h"
#include "jasminehatch/detail/stream/stream_server.h"
#include "jasminehatch/detail/time/boot_clock.h"
#include "jasminehatch/detail/time/system_clock.h"

#endif  // JASMINEHATCH_NET_H_
