#pragma once

/**
 * @file
 * @brief Everything a program may build on. Each folder beside this file is
 * one library; its headers say what it is for.
 *
 * The decision libraries (consensus, outcome, fleet, inflow, jobs, membership,
 * placement, routing, admission, request, waves, workspaces) take the time and
 * an event and return typed actions; they read no clock and do no input or
 * output.
 */

#include "bamboostile/admission/queue.h"
#include "bamboostile/admission/retry_budget.h"
#include "bamboostile/consensus/membership_policy.h"
#include "bamboostile/consensus/replica.h"
#include "bamboostile/fleet/state.h"
#include "bamboostile/inflow/meter.h"
#include "bamboostile/intake/intake.h"
#include "bamboostile/jobs/book.h"
#include "bamboostile/jobs/crash_loop.h"
#include "bamboostile/membership/registry.h"
#include "bamboostile/outcome/ledger.h"
#include "bamboostile/placement/capacity.h"
#include "bamboostile/placement/durations.h"
#include "bamboostile/placement/losses.h"
#include "bamboostile/placement/maintenance.h"
#include "bamboostile/placement/planner.h"
#include "bamboostile/placement/unplaced_tasks.h"
#include "bamboostile/placement/workers.h"
#include "bamboostile/request/engine.h"
#include "bamboostile/routing/router.h"
#include "bamboostile/settings/settings.h"
#include "bamboostile/storage/log_store.h"
#include "bamboostile/units/ids.h"
#include "bamboostile/units/time.h"
#include "bamboostile/waves/planner.h"
#include "bamboostile/workspaces/accounts.h"
#include "bamboostile/workspaces/directory.h"
#include "bamboostile/workspaces/share_limiter.h"
