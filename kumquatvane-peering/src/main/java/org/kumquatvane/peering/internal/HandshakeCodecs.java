package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.peering.codec.FieldReader;
import org.kumquatvane.peering.codec.FieldWriter;
import org.kumquatvane.peering.codec.MessageCodec;
import org.kumquatvane.peering.codec.MessageRegistry;

/**
 * Codecs of the handshake messages. They have a separate registry, so that no other message is
 * decoded before authentication.
 */
final class HandshakeCodecs {
  private static final byte[] EMPTY_BYTES = {};

  private HandshakeCodecs() {}

  static MessageRegistry registry() {
    return new MessageRegistry(List.of(new HelloCodec(), new ChallengeCodec(), new ProofCodec()));
  }

  private static final class HelloCodec implements MessageCodec<Hello> {
    private static final int SENDER = 1;
    private static final int DESTINATION = 2;
    private static final int ENDPOINT = 3;
    private static final int NONCE = 4;

    @Override
    public int type() {
      return 100;
    }

    @Override
    public Class<Hello> messageClass() {
      return Hello.class;
    }

    @Override
    public void write(Hello message, FieldWriter fields) throws IOException {
      fields.writeString(SENDER, message.sender());
      fields.writeString(DESTINATION, message.destination());
      fields.writeString(ENDPOINT, message.endpoint());
      fields.writeBytes(NONCE, message.nonce());
    }

    @Override
    public Hello read(FieldReader fields) throws IOException {
      String sender = "";
      String destination = "";
      String endpoint = "";
      byte[] nonce = EMPTY_BYTES;
      for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
        switch (field) {
          case SENDER -> sender = fields.readString();
          case DESTINATION -> destination = fields.readString();
          case ENDPOINT -> endpoint = fields.readString();
          case NONCE -> nonce = fields.readBytes();
          default -> fields.skipValue();
        }
      }
      return new Hello(sender, destination, endpoint, nonce);
    }
  }

  private static final class ChallengeCodec implements MessageCodec<Challenge> {
    private static final int NONCE = 1;
    private static final int PROOF = 2;

    @Override
    public int type() {
      return 101;
    }

    @Override
    public Class<Challenge> messageClass() {
      return Challenge.class;
    }

    @Override
    public void write(Challenge message, FieldWriter fields) throws IOException {
      fields.writeBytes(NONCE, message.nonce());
      fields.writeBytes(PROOF, message.proof());
    }

    @Override
    public Challenge read(FieldReader fields) throws IOException {
      byte[] nonce = EMPTY_BYTES;
      byte[] proof = EMPTY_BYTES;
      for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
        switch (field) {
          case NONCE -> nonce = fields.readBytes();
          case PROOF -> proof = fields.readBytes();
          default -> fields.skipValue();
        }
      }
      return new Challenge(nonce, proof);
    }
  }

  private static final class ProofCodec implements MessageCodec<Proof> {
    private static final int PROOF = 1;

    @Override
    public int type() {
      return 102;
    }

    @Override
    public Class<Proof> messageClass() {
      return Proof.class;
    }

    @Override
    public void write(Proof message, FieldWriter fields) throws IOException {
      fields.writeBytes(PROOF, message.proof());
    }

    @Override
    public Proof read(FieldReader fields) throws IOException {
      byte[] proof = EMPTY_BYTES;
      for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
        switch (field) {
          case PROOF -> proof = fields.readBytes();
          default -> fields.skipValue();
        }
      }
      return new Proof(proof);
    }
  }
}
