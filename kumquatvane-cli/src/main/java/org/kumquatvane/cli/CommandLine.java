package org.kumquatvane.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.jspecify.annotations.Nullable;

/** Selects a command by the first argument, prints help and the version. */
public final class CommandLine {
  private static final String PROGRAM = "kumquatvane";

  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final Map<String, HelpOption> helpOptions = new LinkedHashMap<>();
  private final GlobalOptions globalOptions = new GlobalOptions();
  private final JCommander parser =
      JCommander.newBuilder().programName(PROGRAM).addObject(globalOptions).build();

  /**
   * Creates a command line.
   *
   * @param available the commands in the order of the help text; each instance runs once
   */
  public CommandLine(List<Command> available) {
    for (Command command : available) {
      HelpOption help = new HelpOption();
      commands.put(command.name(), command);
      helpOptions.put(command.name(), help);
      parser.addCommand(command.name(), new Object[] {command, help});
      subcommand(command.name()).setProgramName(PROGRAM + " " + command.name());
    }
  }

  /**
   * Runs one command.
   *
   * @param arguments the arguments of the process
   * @param console where to print
   * @return the exit code
   */
  public ExitCode run(List<String> arguments, Console console) {
    try {
      parser.parse(arguments.toArray(new String[0]));
    } catch (ParameterException e) {
      // With --help, missing arguments do not matter.
      String first = arguments.isEmpty() ? "" : arguments.get(0);
      if (commands.containsKey(first) && arguments.contains("--help")) {
        console.out().print(help(first));
        return ExitCode.OK;
      }
      String subject = commands.containsKey(first) ? first + " " : "";
      console.err().println(e.getMessage());
      console.err().println("run " + PROGRAM + " " + subject + "--help for the accepted arguments");
      return ExitCode.USAGE;
    }
    if (globalOptions.version) {
      console.out().println(PROGRAM + " " + version());
      return ExitCode.OK;
    }
    // getParsedCommand() would return the program name that usage texts show.
    @Nullable String name = parser.getParsedAlias();
    if (globalOptions.help) {
      console.out().print(help());
      return ExitCode.OK;
    }
    Command command = name == null ? null : commands.get(name);
    if (name == null || command == null) {
      console.err().print(help());
      return ExitCode.USAGE;
    }
    HelpOption help = helpOptions.get(name);
    if (help != null && help.help) {
      console.out().print(help(name));
      return ExitCode.OK;
    }
    return command.run(console);
  }

  /**
   * Returns the help text of the program.
   *
   * @return lines of text
   */
  public String help() {
    StringBuilder text = new StringBuilder("Usage: " + PROGRAM + " <command> [options]\n\n");
    text.append("Commands:\n");
    commands
        .keySet()
        .forEach(
            name ->
                text.append(
                    String.format(
                        "  %-8s %s%n",
                        name, parser.getUsageFormatter().getCommandDescription(name))));
    text.append(
        "\nOptions:\n  --help     print this text, or the help of a command after its name");
    text.append("\n  --version  print the version\n\n");
    return text + exitCodes(List.of(ExitCode.values()));
  }

  private String help(String name) {
    Command command = commands.get(name);
    if (command == null) {
      throw new IllegalArgumentException("no such command: " + name);
    }
    StringBuilder text = new StringBuilder();
    text.append(parser.getUsageFormatter().getCommandDescription(name)).append(".\n\n");
    subcommand(name).getUsageFormatter().usage(text);
    text.append("\nExamples:\n");
    for (Command.Example example : command.examples()) {
      text.append("  # ").append(example.purpose()).append('\n');
      text.append("  ").append(PROGRAM).append(' ').append(example.arguments()).append('\n');
    }
    List<ExitCode> codes = new ArrayList<>(List.of(ExitCode.OK, ExitCode.USAGE));
    codes.addAll(command.exitCodes());
    codes.sort(null);
    return text.append('\n').append(exitCodes(codes)).toString();
  }

  private static String exitCodes(List<ExitCode> codes) {
    StringBuilder text = new StringBuilder("Exit codes:\n");
    codes.forEach(code -> text.append(String.format("  %d  %s%n", code.code(), code.meaning())));
    return text.toString();
  }

  private JCommander subcommand(String name) {
    JCommander subcommand = parser.getCommands().get(name);
    if (subcommand == null) {
      throw new IllegalStateException("command was not added: " + name);
    }
    return subcommand;
  }

  private static String version() {
    try (InputStream input = CommandLine.class.getResourceAsStream("version.properties")) {
      Properties properties = new Properties();
      if (input != null) {
        properties.load(input);
      }
      return properties.getProperty("version", "unknown");
    } catch (IOException e) {
      throw new UncheckedIOException("version.properties cannot be read from the class path", e);
    }
  }

  private static final class GlobalOptions {
    @Parameter(names = "--help", description = "print help", help = true)
    private boolean help;

    @Parameter(names = "--version", description = "print the version", help = true)
    private boolean version;
  }

  private static final class HelpOption {
    @Parameter(names = "--help", description = "print this text", help = true, order = 99)
    private boolean help;
  }
}
