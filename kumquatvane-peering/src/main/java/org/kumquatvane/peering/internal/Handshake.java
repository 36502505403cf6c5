package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;
import org.kumquatvane.core.PeerMessage;
import org.kumquatvane.core.SocketEndpoint;
import org.kumquatvane.core.VmId;
import org.kumquatvane.peering.FleetSecret;
import org.kumquatvane.peering.codec.Decoded;
import org.kumquatvane.peering.codec.MalformedMessageException;
import org.kumquatvane.peering.codec.MessageRegistry;

/** Mutual challenge: each side proves that it knows the fleet secret, over both sides' nonces. */
public final class Handshake {
  /** Longest frame before a peer is authenticated. */
  public static final int MAXIMUM_FRAME_BYTES = 1_024;

  private static final int NONCE_BYTES = 32;
  private static final MessageRegistry CODECS = HandshakeCodecs.registry();

  private final FleetSecret secret;
  private final VmId self;
  private final SocketEndpoint endpoint;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates the handshake of a VM.
   *
   * @param secret the fleet secret
   * @param self this VM
   * @param endpoint where this VM listens
   */
  public Handshake(FleetSecret secret, VmId self, SocketEndpoint endpoint) {
    this.secret = secret;
    this.self = self;
    this.endpoint = endpoint;
  }

  /**
   * Encodes a frame of the handshake.
   *
   * @param message the message
   * @return the frame
   */
  public static ByteBuffer encode(PeerMessage message) {
    return CODECS.encode(message);
  }

  /**
   * Decodes a frame of the handshake.
   *
   * @param body its body
   * @param type the expected message
   * @param <M> type of the message
   * @return the message
   * @throws MalformedMessageException if the frame holds anything else
   */
  public static <M extends PeerMessage> M decode(byte[] body, Class<M> type)
      throws MalformedMessageException {
    Decoded decoded = CODECS.decode(body);
    if (decoded instanceof Decoded.Message known && type.isInstance(known.message())) {
      return type.cast(known.message());
    }
    throw new MalformedMessageException(
        "expected " + type.getSimpleName() + " before any other message, got " + decoded);
  }

  /**
   * Starts as the connecting side.
   *
   * @param destination the VM to reach
   * @return the first message
   */
  public Hello hello(VmId destination) {
    return new Hello(self.value(), destination.value(), endpoint.toString(), nonce());
  }

  /**
   * Answers as the accepting side.
   *
   * @param hello the received message
   * @return the challenge
   * @throws IOException if the message is meant for another VM or malformed
   */
  public Challenge challenge(Hello hello) throws IOException {
    if (!hello.destination().equals(self.value())) {
      throw new IOException(
          "connection is meant for VM " + hello.destination() + "; the VM list has changed");
    }
    if (hello.nonce().length != NONCE_BYTES || hello.sender().isEmpty()) {
      throw new MalformedMessageException("hello without a sender or with a wrong nonce");
    }
    byte[] nonce = nonce();
    return new Challenge(nonce, secret.proof("accepting", parts(hello, nonce)));
  }

  /**
   * Checks the challenge and proves this VM's knowledge, as the connecting side.
   *
   * @param hello the message that this VM sent
   * @param challenge the answer
   * @return the proof
   * @throws IOException if the accepting side does not know the secret
   */
  public Proof prove(Hello hello, Challenge challenge) throws IOException {
    List<byte[]> parts = parts(hello, challenge.nonce());
    if (challenge.nonce().length != NONCE_BYTES
        || !MessageDigest.isEqual(secret.proof("accepting", parts), challenge.proof())) {
      throw new IOException("the accepting VM does not know the fleet secret");
    }
    return new Proof(secret.proof("connecting", parts));
  }

  /**
   * Checks the proof as the accepting side.
   *
   * @param hello the received first message
   * @param challenge the challenge that this VM sent
   * @param proof the received proof
   * @throws IOException if the connecting side does not know the secret
   */
  public void verify(Hello hello, Challenge challenge, Proof proof) throws IOException {
    byte[] expected = secret.proof("connecting", parts(hello, challenge.nonce()));
    if (!MessageDigest.isEqual(expected, proof.proof())) {
      throw new IOException("the connecting VM does not know the fleet secret");
    }
  }

  private static List<byte[]> parts(Hello hello, byte[] nonce) {
    return List.of(
        hello.sender().getBytes(StandardCharsets.UTF_8),
        hello.destination().getBytes(StandardCharsets.UTF_8),
        hello.endpoint().getBytes(StandardCharsets.UTF_8),
        hello.nonce(),
        nonce);
  }

  private byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }
}
