package org.kumquatvane.verification.platform;

import java.io.IOException;
import java.io.OutputStream;

/** When an instance sends the bytes that belong to no request. */
enum LeftoverTiming {
  WITH_PREVIOUS_RESPONSE {
    @Override
    void writePrevious(OutputStream output, String response, String leftover) throws IOException {
      RawInstance.write(output, response + leftover);
    }
  },
  AFTER_PREVIOUS_RESPONSE {
    @Override
    void writePrevious(OutputStream output, String response, String leftover) throws IOException {
      RawInstance.write(output, response);
      RawInstance.write(output, leftover);
    }
  },
  /** The connection is idle, and the VM has read the bytes before the next request comes. */
  SHORTLY_AFTER_PREVIOUS_RESPONSE {
    @Override
    void writePrevious(OutputStream output, String response, String leftover)
        throws IOException, InterruptedException {
      RawInstance.write(output, response);
      Thread.sleep(PAUSE_MILLIS);
      RawInstance.write(output, leftover);
      Thread.sleep(PAUSE_MILLIS);
    }
  },
  WITH_NEXT_RESPONSE {
    @Override
    void writeNext(OutputStream output, String leftover, String response) throws IOException {
      RawInstance.write(output, leftover + response);
    }
  },
  BEFORE_NEXT_RESPONSE {
    @Override
    void writeNext(OutputStream output, String leftover, String response)
        throws IOException, InterruptedException {
      RawInstance.write(output, leftover);
      Thread.sleep(PAUSE_MILLIS);
      RawInstance.write(output, response);
    }
  };

  /** Long enough for two writes to be read apart. */
  private static final long PAUSE_MILLIS = 20;

  void writePrevious(OutputStream output, String response, String leftover)
      throws IOException, InterruptedException {
    RawInstance.write(output, response);
  }

  void writeNext(OutputStream output, String leftover, String response)
      throws IOException, InterruptedException {
    RawInstance.write(output, response);
  }
}
