package org.kumquatvane.engine;

/**
 * Properties of a request body that the engine uses.
 *
 * @param replayable whether the whole body is buffered and can be sent again
 * @param digest hexadecimal digest of a buffered body; empty string for a streamed one
 */
public record BodyDescription(boolean replayable, String digest) {}
