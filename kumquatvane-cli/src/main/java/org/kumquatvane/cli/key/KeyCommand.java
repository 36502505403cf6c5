package org.kumquatvane.cli.key;

import com.beust.jcommander.Parameters;
import java.util.Base64;
import java.util.List;
import java.util.random.RandomGenerator;
import org.kumquatvane.cli.Command;
import org.kumquatvane.cli.Console;
import org.kumquatvane.cli.ExitCode;
import org.kumquatvane.core.KeyDigest;

/** Generates a caller's key, which is printed once and never stored. */
@Parameters(commandDescription = "Generate a caller's key and print it with its digest")
public final class KeyCommand implements Command {
  private static final String PREFIX = "kv1_";
  private static final int RANDOM_BYTES = 32;

  private final RandomGenerator random;

  /**
   * Creates the command.
   *
   * @param random source of keys; a {@link java.security.SecureRandom} outside tests
   */
  public KeyCommand(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public String name() {
    return "key";
  }

  @Override
  public List<Example> examples() {
    return List.of(
        new Example("generate a key for a caller and the digest for its workspace", "key"));
  }

  @Override
  public List<ExitCode> exitCodes() {
    return List.of();
  }

  @Override
  public ExitCode run(Console console) {
    byte[] secret = new byte[RANDOM_BYTES];
    random.nextBytes(secret);
    String key = PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
    console.out().println("key:       " + key);
    console.out().println("keySha256: " + KeyDigest.ofKey(key).hex());
    console
        .err()
        .println(
            "the key is not stored and cannot be printed again; add keySha256 to the document");
    return ExitCode.OK;
  }
}
