package org.kumquatvane.peering.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.kumquatvane.core.PeerMessage;

/**
 * Guards against lossy encoding and against errors on hostile frames or frames of newer versions.
 */
class MessageRegistryTest {
  /** Seeds per try; increase with {@code -Dkumquatvane.seedsPerTry=100}. */
  private static final int SEEDS_PER_TRY = Integer.getInteger("kumquatvane.seedsPerTry", 1);

  private static final MessageRegistry REGISTRY = PeerCodecs.registry();

  static Stream<PeerMessage> messages() {
    return SampleMessages.all();
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageSurvivesEncodingAndDecoding(PeerMessage message) {
    DecodeResult.Message decoded =
        assertInstanceOf(DecodeResult.Message.class, REGISTRY.decode(body(message)));
    // Compares encodings, since records with array components have no content equality.
    assertArrayEquals(body(message), body(decoded.message()));
    assertEquals(message.getClass(), decoded.message().getClass());
  }

  /** Guards against a failure on fields that a newer version adds. */
  @ParameterizedTest
  @MethodSource("messages")
  void unknownFieldsAreSkipped(PeerMessage message) throws IOException {
    FieldWriter unknown = new FieldWriter();
    unknown.writeList(99, java.util.List.of("x"), (text, element) -> element.writeString(1, text));
    byte[] extra = unknown.toByteArray();
    byte[] body = body(message);
    byte[] extended = java.util.Arrays.copyOf(body, body.length + extra.length - 1);
    extended[0]++;
    System.arraycopy(extra, 1, extended, body.length, extra.length - 1);
    DecodeResult.Message decoded =
        assertInstanceOf(DecodeResult.Message.class, REGISTRY.decode(extended));
    assertArrayEquals(body, body(decoded.message()));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void truncatedMessagesAreMalformed(PeerMessage message) {
    byte[] body = body(message);
    for (int length = 0; length < body.length; length++) {
      DecodeResult decoded = REGISTRY.decode(java.util.Arrays.copyOf(body, length));
      assertInstanceOf(DecodeResult.Malformed.class, decoded);
    }
  }

  /** Guards against exceptions and against allocating a declared length beyond the frame. */
  @Property(tries = 300, seed = "20261204")
  void corruptedMessagesNeverThrow(@ForAll @Size(max = 400) byte[] bytes, @ForAll long seed) {
    REGISTRY.decode(bytes);
    for (int i = 0; i < SEEDS_PER_TRY; i++) {
      Random random = new Random(seed + i);
      messages()
          .forEach(
              message -> {
                byte[] body = body(message);
                for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                  body[random.nextInt(body.length)] = (byte) random.nextInt();
                }
                REGISTRY.decode(body);
              });
    }
  }

  private static byte[] body(PeerMessage message) {
    ByteBuffer frame = REGISTRY.encode(message);
    byte[] body = new byte[frame.getInt()];
    frame.get(body);
    return body;
  }
}
