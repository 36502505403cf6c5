package org.kumquatvane.cli.trial;

import java.util.List;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.json.FaultCollector;
import org.kumquatvane.json.JsonLimits;
import org.kumquatvane.json.JsonReader;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;

/**
 * A sampled request whose decisions are compared.
 *
 * @param method HTTP method
 * @param path decoded path without query
 * @param workspace the workspace whose key it would carry
 */
record SampleRequest(String method, String path, WorkspaceId workspace) {
  private static final StringFormat METHOD = StringFormat.of("[A-Z]{1,20}", "of capital letters");
  private static final StringFormat PATH =
      StringFormat.of("/[^?#\\p{Cntrl}]{0,4095}", "that is an absolute path without query");

  /** Reads {@code {"requests": [{"method", "path", "workspace"}]}}. */
  static List<SampleRequest> read(String source, byte[] bytes, FaultCollector faults) {
    return new JsonReader(JsonLimits.STANDARD)
        .read(source, bytes, faults)
        .map(root -> read(ObjectReader.forRoot(source, root, faults)))
        .orElse(List.of());
  }

  private static List<SampleRequest> read(ObjectReader root) {
    if (!root.has("requests")) {
      root.reportFault("requests", "the field is missing", "add it with an array of requests");
    }
    List<SampleRequest> requests =
        root.readObjects(
            "requests",
            request ->
                new SampleRequest(
                    request.readString("method", METHOD),
                    request.readString("path", PATH),
                    new WorkspaceId(request.readString("workspace", StringFormat.NAME))));
    root.reportUnknownFields();
    return requests;
  }
}
