#pragma once

#include "bamboostile/entry/queue_gateway.h"
#include "bamboostile/http/server.h"

namespace bamboostile::entry::internal {

/** Jobs for callers: /v1/queues/{queue} and /v1/queues/{queue}/jobs/{id}. On
 * the server's thread; false where the path is none of these. */
bool HandleJobs(QueueGateway& aGateway,
                http::Server& aServer,
                const std::shared_ptr<http::Exchange>& aExchange);

} // namespace bamboostile::entry::internal
