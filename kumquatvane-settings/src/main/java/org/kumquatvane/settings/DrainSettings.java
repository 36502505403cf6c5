package org.kumquatvane.settings;

import java.time.Duration;

/**
 * Times of a graceful shutdown, counted from its start.
 *
 * @param drainNotice how long new requests are still accepted while the VM reports not ready
 * @param drainDeadline time after which requests still running are terminated
 */
public record DrainSettings(Duration drainNotice, Duration drainDeadline) {}
