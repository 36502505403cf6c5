package org.kumquatvane.cli.serve;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.kumquatvane.core.EventLog;
import org.kumquatvane.core.LogField;
import org.kumquatvane.settings.EntrySettings;
import org.kumquatvane.settings.SettingsResult;

/** Applies the settings file of a running entry VM again; an invalid file changes nothing. */
final class SettingsReloader {
  private final VmProcess<EntrySettings> process;
  private final Consumer<EntrySettings> apply;
  private final EventLog eventLog;
  private byte[] lastRead;

  /**
   * Creates a reloader; the present content of the file counts as applied.
   *
   * @param process reads and parses the file
   * @param apply applies valid settings
   * @param eventLog receives refused files
   */
  SettingsReloader(
      VmProcess<EntrySettings> process, Consumer<EntrySettings> apply, EventLog eventLog) {
    this.process = process;
    this.apply = apply;
    this.eventLog = eventLog;
    lastRead = process.readFile().orElse(new byte[0]);
  }

  /** Applies the file again, whether it has changed or not. */
  synchronized void reload() {
    process.readFile().ifPresentOrElse(this::applyContent, () -> refuse("it cannot be read"));
  }

  /** Applies the file if its content has changed since it was last read. */
  synchronized void reloadIfChanged() {
    Optional<byte[]> content = process.readFile();
    if (content.isPresent() && !Arrays.equals(content.get(), lastRead)) {
      applyContent(content.get());
    }
  }

  private void applyContent(byte[] content) {
    lastRead = content;
    SettingsResult<EntrySettings> result = process.parse(content);
    if (result instanceof SettingsResult.Invalid<EntrySettings> invalid) {
      refuse(invalid.faults().get(0).toString());
    } else {
      apply.accept(((SettingsResult.Parsed<EntrySettings>) result).settings());
    }
  }

  private void refuse(String fault) {
    eventLog.record(
        EventLog.Level.WARNING,
        "settings_reloaded",
        LogField.of("outcome", "refused"),
        LogField.of("fault", fault));
  }
}
