package org.kumquatvane.operations;

import org.kumquatvane.core.VmId;

/**
 * Identifies one attempt of a VM to run an operation, so that duplicate or delayed messages are
 * distinguished from a new attempt.
 *
 * @param coordinator the VM that serves the request
 * @param number unique within the coordinator's process
 */
public record AttemptId(VmId coordinator, long number) {}
