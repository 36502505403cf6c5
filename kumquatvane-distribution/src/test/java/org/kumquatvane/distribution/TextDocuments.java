package org.kumquatvane.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.kumquatvane.core.KeyDigest;
import org.kumquatvane.core.WorkspaceId;
import org.kumquatvane.document.Document;
import org.kumquatvane.document.FleetPolicy;
import org.kumquatvane.document.LimitMechanism;
import org.kumquatvane.document.RateLimit;
import org.kumquatvane.document.Workspace;

/**
 * Line-based documents: {@code generation 7}, {@code key <text>}, {@code fragment <name> <digest>}.
 */
final class TextDocuments implements DocumentDecoder {
  static byte[] bytes(String... lines) {
    return String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public List<DocumentFragment> fragments(byte[] main) {
    List<DocumentFragment> fragments = new ArrayList<>();
    for (String[] words : lines(main)) {
      if (words[0].equals("fragment")) {
        fragments.add(new DocumentFragment(words[1], new ContentDigest(words[2])));
      }
    }
    return fragments;
  }

  @Override
  public Result parse(byte[] main, Function<DocumentFragment, Optional<byte[]>> fragments) {
    long generation = 0;
    List<KeyDigest> keys = new ArrayList<>();
    List<String[]> lines = new ArrayList<>(lines(main));
    for (DocumentFragment fragment : fragments(main)) {
      Optional<byte[]> bytes = fragments.apply(fragment);
      if (bytes.isEmpty()) {
        return new Result.Invalid("fragment " + fragment.name() + " is missing");
      }
      lines.addAll(lines(bytes.get()));
    }
    for (String[] words : lines) {
      switch (words[0]) {
        case "generation" -> generation = Long.parseLong(words[1]);
        case "key" -> keys.add(KeyDigest.ofKey(words[1]));
        case "invalid" -> {
          return new Result.Invalid("line 1: invalid; remove it");
        }
        default -> {
          // Padding.
        }
      }
    }
    return new Result.Valid(
        new Document(
            generation,
            ContentDigest.of(main).hex(),
            new FleetPolicy(100, LimitMechanism.LEASED_SHARES),
            List.of(new Workspace(new WorkspaceId("w"), keys, new RateLimit(1, 1))),
            List.of(),
            List.of()));
  }

  private static List<String[]> lines(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8).lines().map(line -> line.split(" ")).toList();
  }
}
