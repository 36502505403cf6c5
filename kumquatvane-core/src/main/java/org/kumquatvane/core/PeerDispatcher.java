package org.kumquatvane.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Hands each received peer message to the handler of its type. */
public final class PeerDispatcher {
  private final Map<Class<?>, PeerMessageHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();
  private volatile Consumer<VmId> anyMessage = sender -> {};

  /**
   * Registers the handler of one message type, replacing an earlier one.
   *
   * @param type the message type
   * @param handler its handler
   * @param <M> the message type
   */
  public <M extends PeerMessage> void register(Class<M> type, PeerMessageHandler<M> handler) {
    handlers.put(type, (sender, message) -> handler.handle(sender, type.cast(message)));
  }

  /**
   * Registers who learns that a VM has sent anything, replacing an earlier one.
   *
   * @param listener gets the sender of each message
   */
  public void onAnyMessage(Consumer<VmId> listener) {
    anyMessage = listener;
  }

  /**
   * Hands a message to its handler; a message without handler is dropped.
   *
   * @param sender the authenticated sender
   * @param message the message
   */
  public void dispatch(VmId sender, PeerMessage message) {
    anyMessage.accept(sender);
    @Nullable PeerMessageHandler<PeerMessage> handler = handlers.get(message.getClass());
    if (handler != null) {
      handler.handle(sender, message);
    }
  }
}
