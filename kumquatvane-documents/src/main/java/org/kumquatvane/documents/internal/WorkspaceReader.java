package org.kumquatvane.documents.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.Workspace;
import org.kumquatvane.json.Located;
import org.kumquatvane.json.ObjectReader;
import org.kumquatvane.json.StringFormat;

/** Reads workspaces. */
final class WorkspaceReader {
  /**
   * One request in about 17 minutes; a lower rate would in effect withdraw the workspace's keys.
   */
  private static final double MINIMUM_RATE_PER_SECOND = 0.001;

  /** The fleet is sized for 1.8 million requests per second. */
  private static final double MAXIMUM_RATE_PER_SECOND = 2_000_000;

  private static final double MAXIMUM_BURST_REQUESTS = 10_000_000;

  private WorkspaceReader() {}

  static Workspace read(ObjectReader reader, Consumer<Located<KeyDigest>> keys) {
    WorkspaceId id = new WorkspaceId(reader.readString("name", StringFormat.NAME));
    List<KeyDigest> digests = new ArrayList<>();
    for (Located<String> text : reader.readStrings("keySha256", StringFormat.SHA256)) {
      KeyDigest digest = KeyDigest.ofHex(text.value());
      keys.accept(new Located<>(digest, text.location()));
      digests.add(digest);
    }
    RateLimit rate =
        new RateLimit(
            reader.readDouble("ratePerSecond", MINIMUM_RATE_PER_SECOND, MAXIMUM_RATE_PER_SECOND),
            reader.readDouble("burstRequests", 1, MAXIMUM_BURST_REQUESTS));
    return new Workspace(id, digests, rate);
  }
}
