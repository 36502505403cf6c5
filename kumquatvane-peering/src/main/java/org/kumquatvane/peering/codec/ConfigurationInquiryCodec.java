package org.kumquatvane.peering.codec;

import java.io.IOException;
import org.kumquatvane.distribution.ConfigurationInquiry;
import org.kumquatvane.membership.ConfigurationVersions;

/** Codec of {@link ConfigurationInquiry}. */
public final class ConfigurationInquiryCodec implements MessageCodec<ConfigurationInquiry> {
  private static final int GENERATION = 1;
  private static final int WITHDRAWAL_COUNT = 2;
  private static final int VM_LIST_VERSION = 3;

  @Override
  public int type() {
    return 13;
  }

  @Override
  public Class<ConfigurationInquiry> messageClass() {
    return ConfigurationInquiry.class;
  }

  @Override
  public void write(ConfigurationInquiry message, FieldWriter fields) throws IOException {
    fields.writeLong(GENERATION, message.known().generation());
    fields.writeLong(WITHDRAWAL_COUNT, message.known().withdrawalCount());
    fields.writeLong(VM_LIST_VERSION, message.known().vmListVersion());
  }

  @Override
  public ConfigurationInquiry read(FieldReader fields) throws IOException {
    long generation = 0;
    int withdrawalCount = 0;
    long vmListVersion = 0;
    for (int field = fields.nextField(); field >= 0; field = fields.nextField()) {
      switch (field) {
        case GENERATION -> generation = fields.readLong();
        case WITHDRAWAL_COUNT -> withdrawalCount = fields.readInt();
        case VM_LIST_VERSION -> vmListVersion = fields.readLong();
        default -> fields.skipValue();
      }
    }
    return new ConfigurationInquiry(
        new ConfigurationVersions(generation, withdrawalCount, vmListVersion));
  }
}
