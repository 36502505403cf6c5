package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.kumquatvane.core.PeerMessage;
import org.msgpack.core.MessagePackException;

/** The codecs of all messages, by type number and by class. */
public final class MessageRegistry {
  /** Longest body of a frame. */
  public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

  private static final int TYPE_FIELD = 0;

  private final Map<Integer, MessageCodec<?>> byType = new HashMap<>();
  private final Map<Class<?>, MessageCodec<?>> byClass = new HashMap<>();
  private final Map<Class<?>, String> metricLabels = new HashMap<>();

  /**
   * Creates a registry.
   *
   * @param codecs the codecs, with unique types and classes
   */
  public MessageRegistry(Collection<? extends MessageCodec<?>> codecs) {
    for (MessageCodec<?> codec : codecs) {
      if (byType.put(codec.type(), codec) != null
          || byClass.put(codec.messageClass(), codec) != null) {
        throw new IllegalArgumentException("two codecs for " + codec.messageClass());
      }
      metricLabels.put(codec.messageClass(), metricLabel(codec.messageClass()));
    }
  }

  /**
   * Returns the name of a message's type in counters.
   *
   * @param message the message
   * @return lower-case name with underscores
   */
  public String metricLabel(PeerMessage message) {
    return metricLabels.getOrDefault(message.getClass(), "unregistered");
  }

  /**
   * Encodes a message as a frame.
   *
   * @param message a message of a registered class
   * @return length and body, ready to be sent
   * @throws IllegalArgumentException if the class has no codec or the message exceeds a frame
   */
  public ByteBuffer encode(PeerMessage message) {
    MessageCodec<?> codec = byClass.get(message.getClass());
    if (codec == null) {
      throw new IllegalArgumentException("no codec for " + message.getClass());
    }
    try {
      FieldWriter fields = new FieldWriter();
      fields.writeLong(TYPE_FIELD, codec.type());
      write(codec, message, fields);
      byte[] body = fields.toByteArray();
      if (body.length > MAXIMUM_FRAME_BYTES) {
        throw new IllegalArgumentException(
            message.getClass() + " has " + body.length + " bytes, more than a frame");
      }
      ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + body.length);
      return frame.putInt(body.length).put(body).flip();
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory does not fail", e);
    }
  }

  /**
   * Decodes the body of a frame.
   *
   * @param body the bytes after the length
   * @return the message, or why there is none
   */
  public DecodeResult decode(byte[] body) {
    try {
      FieldReader fields = new FieldReader(body);
      if (fields.nextField() != TYPE_FIELD) {
        return new DecodeResult.Malformed("the first field is not the message type");
      }
      int type = fields.readInt();
      MessageCodec<?> codec = byType.get(type);
      if (codec == null) {
        return new DecodeResult.UnknownType(type);
      }
      PeerMessage message = codec.read(fields);
      return new DecodeResult.Message(metricLabel(message), message);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return new DecodeResult.Malformed(e.getClass().getSimpleName() + ": " + e.getMessage());
    }
  }

  private static <M extends PeerMessage> void write(
      MessageCodec<M> codec, PeerMessage message, FieldWriter fields) throws IOException {
    codec.write(codec.messageClass().cast(message), fields);
  }

  private static String metricLabel(Class<?> type) {
    return type.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "_").toLowerCase(Locale.ROOT);
  }
}
