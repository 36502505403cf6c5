package org.kumquatvane.http;

import java.util.function.BooleanSupplier;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.engine.RequestEngine;

/**
 * Collaborators of {@link CallerServer}.
 *
 * @param engine authorizes and runs requests
 * @param workers runs the tasks of the engine
 * @param connections connections to backend servers
 * @param clock clock of the arrival times
 * @param counters counts requests refused before they reach the engine
 * @param eventLog logs certificate events
 * @param dialect mapping of requests and responses to HTTP
 * @param isDraining whether the VM drains, so that responses close their connection
 */
public record CallerServerDependencies(
    RequestEngine engine,
    WorkerPool workers,
    BackendConnectionPool connections,
    Clock clock,
    Counters counters,
    EventLog eventLog,
    HttpDialect dialect,
    BooleanSupplier isDraining) {}
