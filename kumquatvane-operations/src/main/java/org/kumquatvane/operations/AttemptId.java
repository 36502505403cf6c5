package org.kumquatvane.operations;

import org.kumquatvane.core.VmId;

/**
 * Names one try of a VM to run an operation, so that a doubled or late message is told from a new
 * try.
 *
 * @param coordinator the VM that serves the request
 * @param number unique within the coordinator's process
 */
public record AttemptId(VmId coordinator, long number) {}
