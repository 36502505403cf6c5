package org.kumquatvane.http;

import org.kumquatvane.core.SocketEndpoint;

/**
 * Bytes of a backend server that belong to no response to a request on its connection.
 *
 * @param server the backend server
 * @param connection number of the connection, unique in the process
 * @param requestsOnConnection number of requests sent on the connection so far
 * @param position where the bytes came
 * @param bytes how many of them were read at once
 */
public record ExtraBytes(
    SocketEndpoint server,
    long connection,
    int requestsOnConnection,
    Position position,
    int bytes) {
  /** Where extra bytes came in the exchange of requests and responses. */
  public enum Position {
    /** On a connection that no request used. */
    IDLE,
    /**
     * In place of a response: a whole one that names an earlier request of the connection. It is
     * dropped.
     */
    EARLIER_RESPONSE,
    /** After the end of a response, before its attempt has released the connection. */
    AFTER_RESPONSE,
    /** In place of a response, or within it: the bytes are no valid response. */
    MALFORMED_RESPONSE,
    /** In a response that has no end within the size limits. */
    WITHOUT_END
  }
}
