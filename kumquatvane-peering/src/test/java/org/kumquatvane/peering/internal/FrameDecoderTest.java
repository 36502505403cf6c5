package org.kumquatvane.peering.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a frame that is taken for complete although its connection ended within it, and
 * against frames that depend on how their bytes are split into reads.
 */
class FrameDecoderTest {
  private static final int MAXIMUM_BODY_BYTES = 4_096;

  /** Lengths of consecutive frames; an empty frame is an acknowledgement. */
  private static final List<Integer> LENGTHS = List.of(0, 1, 7, 0, 1_500, 3);

  private static List<byte[]> bodies() {
    List<byte[]> bodies = new ArrayList<>();
    for (int i = 0; i < LENGTHS.size(); i++) {
      byte[] body = new byte[LENGTHS.get(i)];
      Arrays.fill(body, (byte) (i + 1));
      bodies.add(body);
    }
    return bodies;
  }

  private static byte[] stream() {
    int total = LENGTHS.stream().mapToInt(length -> Integer.BYTES + length).sum();
    ByteBuffer stream = ByteBuffer.allocate(total);
    bodies().forEach(body -> stream.putInt(body.length).put(body));
    return stream.array();
  }

  /** Returns the number of frames that end within the first bytes of the stream. */
  private static int countWhole(int bytes) {
    int count = 0;
    int end = 0;
    for (int length : LENGTHS) {
      end += Integer.BYTES + length;
      count += end <= bytes ? 1 : 0;
    }
    return count;
  }

  private static List<String> decode(byte[] bytes, int readBytes) throws IOException {
    FrameDecoder decoder = new FrameDecoder(MAXIMUM_BODY_BYTES, new ByteBudget(MAXIMUM_BODY_BYTES));
    List<String> frames = new ArrayList<>();
    for (int start = 0; start < bytes.length; start += readBytes) {
      int length = Math.min(readBytes, bytes.length - start);
      decoder.decode(
          ByteBuffer.wrap(bytes, start, length), body -> frames.add(Arrays.toString(body)));
    }
    return frames;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 64, 1_024, 4_096})
  void cutStreamYieldsOnlyWholeFrames(int readBytes) throws Exception {
    byte[] stream = stream();
    List<String> whole = bodies().stream().map(Arrays::toString).toList();
    for (int length = 0; length <= stream.length; length++) {
      assertEquals(
          whole.subList(0, countWhole(length)),
          decode(Arrays.copyOf(stream, length), readBytes),
          "after " + length + " bytes");
    }
  }
}
