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
 * Tables and policies that the engine uses.
 *
 * @param clock clock that all deadlines refer to
 * @param workers runs the request processing
 * @param scheduler schedules retries and deadlines
 * @param keys maps keys to workspaces
 * @param routes maps requests to routes
 * @param limiter enforces rate and burst of workspaces
 * @param ledger records of operations
 * @param queue requests that wait for a slot
 * @param instances slots of instances
 * @param health detects faulty instances
 * @param crashGuard detects requests that crash instances
 * @param retries decides about retries
 * @param attemptDeadlines sets the time after which another instance is tried instead of a hanging
 *     one
 * @param connectionShare divides connections among VMs
 * @param counters counts reasons and records durations
 * @param eventLog logs events
 * @param monitor receives violations of invariants
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
