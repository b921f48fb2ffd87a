#pragma once

#include "bamboostile/entry/queue_gateway.h"
#include "bamboostile/http/server.h"

namespace bamboostile::entry::internal {

/** Handles callers' requests to /v1/queues/{queue} and
 * /v1/queues/{queue}/jobs/{id}, on the server's thread. Returns false for any
 * other path. */
bool HandleJobs(QueueGateway& aGateway,
                http::Server& aServer,
                const std::shared_ptr<http::Exchange>& aExchange);

} // namespace bamboostile::entry::internal
