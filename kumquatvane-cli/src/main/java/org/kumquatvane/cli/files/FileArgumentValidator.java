package org.kumquatvane.cli.files;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Rejects misspelled options, which JCommander would otherwise accept as file names. */
public final class FileArgumentValidator implements IParameterValidator {
  @Override
  public void validate(String name, String value) {
    if (value.startsWith("-")) {
      throw new ParameterException(
          "Unknown option: " + value + " (write ./" + value + " for a file of this name)");
    }
  }
}
