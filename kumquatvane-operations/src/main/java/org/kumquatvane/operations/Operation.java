package org.kumquatvane.operations;

import org.kumquatvane.core.WorkspaceId;

/**
 * One operation that must run at most once, named by its caller.
 *
 * @param workspace the caller's workspace; keys of different workspaces never meet
 * @param idempotencyKey the caller's Idempotency-Key
 * @param requestDigest digest of method, path and body, to tell a repeat from another request
 */
public record Operation(WorkspaceId workspace, String idempotencyKey, String requestDigest) {}
