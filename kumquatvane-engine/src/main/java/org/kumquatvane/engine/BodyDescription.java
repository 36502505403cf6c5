package org.kumquatvane.engine;

/**
 * What the engine knows of a request body.
 *
 * @param replayable whether the whole body is buffered and can be sent again
 * @param digest hexadecimal digest of a buffered body; empty text for a streamed one
 */
public record BodyDescription(boolean replayable, String digest) {}
