#ifndef JASMINEHATCH_CODEC_H_
#define JASMINEHATCH_CODEC_H_

/// @file
/// @brief Umbrella header of the codecs: settings, configuration, caller and
/// engine JSON, log records, block keys.

#include "jasminehatch/core.h"
#include "jasminehatch/detail/configuration/configuration.h"
#include "jasminehatch/detail/hash/block_keys.h"
#include "jasminehatch/detail/hash/sha256.h"
#include "jasminehatch/detail/ini/ini_document.h"
#include "jasminehatch/detail/json/completion_request.h"
#include "jasminehatch/detail/json/config_record.h"
#include "jasminehatch/detail/json/engine_chunk.h"
#include "jasminehatch/detail/json/explain_message.h"
#include "jasminehatch/detail/json/gossip_message.h"
#include "jasminehatch/detail/json/lease_json.h"
#include "jasminehatch/detail/json/log_record.h"
#include "jasminehatch/detail/json/peer_message.h"
#include "jasminehatch/detail/json/read_integer.h"
#include "jasminehatch/detail/json/refusal_json.h"
#include "jasminehatch/detail/json/relay_message.h"
#include "jasminehatch/detail/json/upstream_report.h"
#include "jasminehatch/detail/settings/daemon_settings.h"
#include "jasminehatch/detail/settings/forwarder_settings.h"
#include "jasminehatch/detail/sse/event_splitter.h"
#include "jasminehatch/detail/sse/sse_parser.h"

#endif  // JASMINEHATCH_CODEC_H_
