package org.kumquatvane.http;

import java.util.function.BooleanSupplier;
import org.kumquatvane.core.Clock;
import org.kumquatvane.core.Counters;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.WorkerPool;
import org.kumquatvane.engine.RequestEngine;

/**
 * What a listener for callers works with.
 *
 * @param engine decides about requests
 * @param workers runs decisions
 * @param connections connections to backend servers
 * @param clock time of arrival
 * @param counters counts refusals of the front end
 * @param eventLog logs certificate events
 * @param dialect header fields and statuses
 * @param isDraining whether callers are to open new connections elsewhere
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
