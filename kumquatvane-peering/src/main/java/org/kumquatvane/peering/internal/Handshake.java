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

/** Mutual challenge: each side proves that it knows the fleet secret, over both sides' nonces. */
public final class Handshake {
  /** Longest frame before a peer is authenticated. */
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
    return REGISTRY.encode(message);
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
    DecodeResult result = REGISTRY.decode(body);
    if (result instanceof DecodeResult.Message decodedMessage
        && type.isInstance(decodedMessage.message())) {
      return type.cast(decodedMessage.message());
    }
    throw new MalformedMessageException(
        "expected " + type.getSimpleName() + " before any other message, got " + result);
  }

  /**
   * Starts as the connecting side.
   *
   * @param destination the VM to reach
   * @return the first message
   */
  public Hello createHello(VmId destination) {
    return new Hello(self.value(), destination.value(), endpoint.toString(), createNonce());
  }

  /**
   * Answers as the accepting side.
   *
   * @param hello the received message
   * @return the challenge
   * @throws IOException if the message is meant for another VM or malformed
   */
  public Challenge createChallenge(Hello hello) throws IOException {
    if (!hello.destination().equals(self.value())) {
      throw new IOException(
          "connection is meant for VM " + hello.destination() + "; the VM list has changed");
    }
    if (hello.nonce().length != NONCE_BYTES || hello.sender().isEmpty()) {
      throw new MalformedMessageException("hello without a sender or with a wrong nonce");
    }
    byte[] nonce = createNonce();
    return new Challenge(nonce, secret.computeProof("accepting", transcript(hello, nonce)));
  }

  /**
   * Checks the challenge and proves this VM's knowledge, as the connecting side.
   *
   * @param hello the message that this VM sent
   * @param challenge the answer
   * @return the proof
   * @throws IOException if the accepting side does not know the secret
   */
  public Proof createProof(Hello hello, Challenge challenge) throws IOException {
    List<byte[]> transcript = transcript(hello, challenge.nonce());
    if (challenge.nonce().length != NONCE_BYTES
        || !MessageDigest.isEqual(
            secret.computeProof("accepting", transcript), challenge.proof())) {
      throw new IOException("the accepting VM does not know the fleet secret");
    }
    return new Proof(secret.computeProof("connecting", transcript));
  }

  /**
   * Checks the proof as the accepting side.
   *
   * @param hello the received first message
   * @param challenge the challenge that this VM sent
   * @param proof the received proof
   * @throws IOException if the connecting side does not know the secret
   */
  public void verifyProof(Hello hello, Challenge challenge, Proof proof) throws IOException {
    byte[] expected = secret.computeProof("connecting", transcript(hello, challenge.nonce()));
    if (!MessageDigest.isEqual(expected, proof.proof())) {
      throw new IOException("the connecting VM does not know the fleet secret");
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
