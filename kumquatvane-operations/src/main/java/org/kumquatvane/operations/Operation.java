package org.kumquatvane.operations;

import org.kumquatvane.core.WorkspaceId;

/**
 * Operation that must run at most once, identified by a key of its caller.
 *
 * @param workspace the caller's workspace; keys of different workspaces are independent
 * @param idempotencyKey the caller's Idempotency-Key
 * @param requestDigest digest of method, path and body, to distinguish a repeat from a different
 *     request
 */
public record Operation(WorkspaceId workspace, String idempotencyKey, String requestDigest) {}
