package org.kumquatvane.cli.files;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Refuses misspelt options, which JCommander would take for names of files. */
public final class FileArgumentValidator implements IParameterValidator {
  @Override
  public void validate(String name, String value) {
    if (value.startsWith("-")) {
      throw new ParameterException(
          "Unknown option: " + value + " (write ./" + value + " for a file of this name)");
    }
  }
}
