package org.kumquatvane.peering.codec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.kumquatvane.core.PeerMessage;
import org.msgpack.core.MessagePackException;

/** Message codecs, indexed by type number and by message class. */
public final class MessageRegistry {
  /** Maximum length of the body of a frame: a configuration of 1 MB and the fields beside it. */
  public static final int MAXIMUM_FRAME_BYTES = (1 << 20) + (64 << 10);

  private static final int TYPE_FIELD = 0;

  private final Map<Integer, MessageCodec<?>> byType = new HashMap<>();
  private final Map<Class<?>, MessageCodec<?>> byClass = new HashMap<>();
  private final Map<Class<?>, String> metricLabels = new HashMap<>();

  /**
   * Creates a registry.
   *
   * @param codecs the codecs, with unique type numbers and classes
   * @throws IllegalArgumentException if two codecs have the same type number or class
   */
  public MessageRegistry(Collection<? extends MessageCodec<?>> codecs) {
    for (MessageCodec<?> codec : codecs) {
      if (byType.put(codec.type(), codec) != null
          || byClass.put(codec.messageClass(), codec) != null) {
        throw new IllegalArgumentException(
            "duplicate type number or class of the codec for " + codec.messageClass());
      }
      metricLabels.put(codec.messageClass(), metricLabel(codec.messageClass()));
    }
  }

  /**
   * Returns the label of a message's type in metric names.
   *
   * @param message the message
   * @return class name in lower case with underscores
   */
  public String metricLabel(PeerMessage message) {
    return metricLabels.getOrDefault(message.getClass(), "unregistered");
  }

  /**
   * Encodes a message as a frame.
   *
   * @param message a message of a registered class
   * @return length prefix and body, ready to be read from the buffer
   * @throws IllegalArgumentException if the class has no codec or the message exceeds the maximum
   *     frame length
   */
  public ByteBuffer encode(PeerMessage message) {
    MessageCodec<?> codec = byClass.get(message.getClass());
    if (codec == null) {
      throw new IllegalArgumentException("no codec for " + message.getClass());
    }
    checkSize(message, estimate(codec, message));
    try {
      FieldWriter fields = new FieldWriter();
      fields.writeLong(TYPE_FIELD, codec.type());
      write(codec, message, fields);
      byte[] body = fields.toByteArray();
      checkSize(message, body.length);
      ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + body.length);
      return frame.putInt(body.length).put(body).flip();
    } catch (IOException e) {
      throw new IllegalStateException("unexpected I/O error while packing into memory", e);
    }
  }

  /**
   * Decodes the body of a frame.
   *
   * @param body the bytes after the length prefix
   * @return the message, or the reason why it could not be decoded
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

  private static void checkSize(PeerMessage message, long bytes) {
    if (bytes > MAXIMUM_FRAME_BYTES) {
      throw new IllegalArgumentException(
          message.getClass()
              + " has "
              + bytes
              + " bytes, which exceeds the limit of "
              + MAXIMUM_FRAME_BYTES
              + " bytes");
    }
  }

  private static <M extends PeerMessage> long estimate(MessageCodec<M> codec, PeerMessage message) {
    return codec.estimateBytes(codec.messageClass().cast(message));
  }

  private static <M extends PeerMessage> void write(
      MessageCodec<M> codec, PeerMessage message, FieldWriter fields) throws IOException {
    codec.write(codec.messageClass().cast(message), fields);
  }

  private static String metricLabel(Class<?> type) {
    return type.getSimpleName().replaceAll("(?<=[a-z])(?=[A-Z])", "_").toLowerCase(Locale.ROOT);
  }
}
