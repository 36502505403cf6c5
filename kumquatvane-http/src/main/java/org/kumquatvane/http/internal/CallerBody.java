package org.kumquatvane.http.internal;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import org.kumquatvane.engine.BodyDescription;

/**
 * Body of a caller's request, to be sent to backend servers.
 *
 * @param description description of the body for the engine
 * @param declaredLength length in bytes, or -1 if it is sent in chunks
 * @param reservedBytes bytes reserved in the buffer budget until the request ends
 * @param bytes the body; can be subscribed to once for each attempt if the body is replayable
 */
record CallerBody(
    BodyDescription description,
    long declaredLength,
    long reservedBytes,
    Publisher<Buffer> bytes) {}
