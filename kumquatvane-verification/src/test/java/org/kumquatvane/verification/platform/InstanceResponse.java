package org.kumquatvane.verification.platform;

/**
 * A response of an instance, apart from its framing.
 *
 * @param status status code
 * @param reason reason phrase
 * @param requestId ID of the request
 * @param fields further header lines
 * @param body whole body
 */
record InstanceResponse(int status, String reason, String requestId, String fields, String body) {
  /** Differs for each status and request, so that it proves both. */
  String signature() {
    return "signed." + status + "." + requestId;
  }

  /** Encodes the head with the ID as its first field. */
  String head(String framing) {
    return statusLine() + idLine() + signatureLine() + fields + framing + "\r\n";
  }

  /** Encodes the head with the ID as its last field. */
  String headWithLastId(String framing) {
    return statusLine() + signatureLine() + fields + framing + idLine() + "\r\n";
  }

  String withLength() {
    return head(lengthField(body)) + body;
  }

  String statusLine() {
    return "HTTP/1.1 " + status + " " + reason + "\r\n";
  }

  String idLine() {
    return "X-Request-Id: " + requestId + "\r\n";
  }

  String signatureLine() {
    return "X-Response-Signature: " + signature() + "\r\n";
  }

  static String lengthField(String body) {
    return "Content-Length: " + body.length() + "\r\n";
  }
}
