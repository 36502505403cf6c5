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
import org.kumquatvane.peering.codec.DecodeResult;
import org.kumquatvane.peering.codec.MalformedMessageException;
import org.kumquatvane.peering.codec.MessageRegistry;

/**
 * Mutual challenge-response authentication. Each side proves that it has the fleet secret with an
 * HMAC over the nonces of both sides.
 */
public final class Handshake {
  /** Maximum frame length before a peer is authenticated. */
  public static final int MAXIMUM_FRAME_BYTES = 1_024;

  private static final int NONCE_BYTES = 32;
  private static final MessageRegistry REGISTRY = HandshakeCodecs.registry();

  private final FleetSecret secret;
  private final VmId self;
  private final SocketEndpoint endpoint;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates the handshake of a VM.
   *
   * @param secret the fleet secret
   * @param self this VM
   * @param endpoint address on which this VM listens
   */
  public Handshake(FleetSecret secret, VmId self, SocketEndpoint endpoint) {
    this.secret = secret;
    this.self = self;
    this.endpoint = endpoint;
  }

  /**
   * Encodes a handshake message as a frame.
   *
   * @param message the message
   * @return the frame
   */
  public static ByteBuffer encode(PeerMessage message) {
    return REGISTRY.encode(message);
  }

  /**
   * Decodes a handshake message.
   *
   * @param body body of the frame
   * @param type class of the expected message
   * @param <M> type of the message
   * @return the message
   * @throws MalformedMessageException if the frame does not contain the expected message
   */
  public static <M extends PeerMessage> M decode(byte[] body, Class<M> type)
      throws MalformedMessageException {
    DecodeResult result = REGISTRY.decode(body);
    if (result instanceof DecodeResult.Message decodedMessage
        && type.isInstance(decodedMessage.message())) {
      return type.cast(decodedMessage.message());
    }
    throw new MalformedMessageException(
        "expected " + type.getSimpleName() + " before any other message, got " + result);
  }

  /**
   * Creates the first message of the connecting side.
   *
   * @param destination the VM to connect to
   * @return the message
   */
  public Hello createHello(VmId destination) {
    return new Hello(self.value(), destination.value(), endpoint.toString(), createNonce());
  }

  /**
   * Creates the reply of the accepting side.
   *
   * @param hello the received message
   * @return the challenge
   * @throws IOException if the message is addressed to another VM or malformed
   */
  public Challenge createChallenge(Hello hello) throws IOException {
    if (!hello.destination().equals(self.value())) {
      throw new IOException(
          "hello is addressed to VM "
              + hello.destination()
              + "; the VM list of the connecting VM may be outdated");
    }
    if (hello.nonce().length != NONCE_BYTES || hello.sender().isEmpty()) {
      throw new MalformedMessageException("hello has no sender or a nonce of the wrong length");
    }
    byte[] nonce = createNonce();
    return new Challenge(nonce, secret.computeProof("accepting", transcript(hello, nonce)));
  }

  /**
   * Verifies the challenge and creates the proof of the connecting side.
   *
   * @param hello the hello that this VM sent
   * @param challenge the received challenge
   * @return the proof
   * @throws IOException if the accepting side does not have the fleet secret
   */
  public Proof createProof(Hello hello, Challenge challenge) throws IOException {
    List<byte[]> transcript = transcript(hello, challenge.nonce());
    if (challenge.nonce().length != NONCE_BYTES
        || !MessageDigest.isEqual(
            secret.computeProof("accepting", transcript), challenge.proof())) {
      throw new IOException("authentication failed: the accepting VM has a different fleet secret");
    }
    return new Proof(secret.computeProof("connecting", transcript));
  }

  /**
   * Verifies the proof of the connecting side.
   *
   * @param hello the received hello
   * @param challenge the challenge that this VM sent
   * @param proof the received proof
   * @throws IOException if the connecting side does not have the fleet secret
   */
  public void verifyProof(Hello hello, Challenge challenge, Proof proof) throws IOException {
    byte[] expected = secret.computeProof("connecting", transcript(hello, challenge.nonce()));
    if (!MessageDigest.isEqual(expected, proof.proof())) {
      throw new IOException(
          "authentication failed: the connecting VM has a different fleet secret");
    }
  }

  private static List<byte[]> transcript(Hello hello, byte[] nonce) {
    return List.of(
        hello.sender().getBytes(StandardCharsets.UTF_8),
        hello.destination().getBytes(StandardCharsets.UTF_8),
        hello.endpoint().getBytes(StandardCharsets.UTF_8),
        hello.nonce(),
        nonce);
  }

  private byte[] createNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }
}
