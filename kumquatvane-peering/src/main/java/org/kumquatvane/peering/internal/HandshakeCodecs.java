package org.kumquatvane.peering.internal;

import java.io.IOException;
import java.util.List;
import org.kumquatvane.peering.codec.FieldReader;
import org.kumquatvane.peering.codec.FieldWriter;
import org.kumquatvane.peering.codec.MessageCodec;
import org.kumquatvane.peering.codec.MessageRegistry;

/** Codecs of the handshake, in a registry of their own so that no other message passes early. */
final class HandshakeCodecs {
  private static final byte[] NONE = {};

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
      fields.text(SENDER, message.sender());
      fields.text(DESTINATION, message.destination());
      fields.text(ENDPOINT, message.endpoint());
      fields.bytes(NONCE, message.nonce());
    }

    @Override
    public Hello read(FieldReader fields) throws IOException {
      String sender = "";
      String destination = "";
      String endpoint = "";
      byte[] nonce = NONE;
      for (int field = fields.next(); field >= 0; field = fields.next()) {
        switch (field) {
          case SENDER -> sender = fields.text();
          case DESTINATION -> destination = fields.text();
          case ENDPOINT -> endpoint = fields.text();
          case NONCE -> nonce = fields.bytes();
          default -> fields.skip();
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
      fields.bytes(NONCE, message.nonce());
      fields.bytes(PROOF, message.proof());
    }

    @Override
    public Challenge read(FieldReader fields) throws IOException {
      byte[] nonce = NONE;
      byte[] proof = NONE;
      for (int field = fields.next(); field >= 0; field = fields.next()) {
        switch (field) {
          case NONCE -> nonce = fields.bytes();
          case PROOF -> proof = fields.bytes();
          default -> fields.skip();
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
      fields.bytes(PROOF, message.proof());
    }

    @Override
    public Proof read(FieldReader fields) throws IOException {
      byte[] proof = NONE;
      for (int field = fields.next(); field >= 0; field = fields.next()) {
        switch (field) {
          case PROOF -> proof = fields.bytes();
          default -> fields.skip();
        }
      }
      return new Proof(proof);
    }
  }
}
