package org.kumquatvane.engine;

import org.kumquatvane.admission.AdmissionQueue;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.InvariantMonitor;
import org.kumquatvane.core.Scheduler;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.ejection.CrashGuard;
import org.kumquatvane.ejection.InstanceHealth;
import org.kumquatvane.keys.KeyTable;
import org.kumquatvane.limits.RateLimiter;
import org.kumquatvane.operations.OperationLedger;
import org.kumquatvane.retries.AttemptDeadlinePolicy;
import org.kumquatvane.retries.RetryPolicy;
import org.kumquatvane.routing.RouteTable;
import org.kumquatvane.selection.InstancePool;

/**
 * The decision tables and policies that the engine joins.
 *
 * @param clock clock of all deadlines
 * @param workers runs all decisions
 * @param scheduler starts retries and ends attempts
 * @param keys key to workspace
 * @param routes path to route
 * @param limiter rate and burst
 * @param ledger records of operations
 * @param queue requests that wait for a slot
 * @param instances slots of instances
 * @param health judges instances
 * @param crashGuard recognises requests that end instances
 * @param retries decides about retries
 * @param attemptDeadlines decides when another instance is tried instead of a hanging one
 * @param connectionShare divides connections between VMs
 * @param counters counts reasons
 * @param eventLog logs events
 * @param monitor receives violations
 */
public record EngineDependencies(
    Clock clock,
    WorkerPool workers,
    Scheduler scheduler,
    KeyTable keys,
    RouteTable routes,
    RateLimiter limiter,
    OperationLedger ledger,
    AdmissionQueue queue,
    InstancePool instances,
    InstanceHealth health,
    CrashGuard crashGuard,
    RetryPolicy retries,
    AttemptDeadlinePolicy attemptDeadlines,
    ConnectionShare connectionShare,
    Counters counters,
    EventLog eventLog,
    InvariantMonitor monitor) {}
