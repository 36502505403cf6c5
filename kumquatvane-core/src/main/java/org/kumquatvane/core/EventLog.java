package org.kumquatvane.core;

/** Structured event log; each event is one line of key=value pairs. */
public interface EventLog {
  /** Importance of an event. */
  enum Level {
    /** For developers; off by default. */
    DEBUG,
    /** A normal change of state. */
    INFO,
    /** Something that an operator may have to act on. */
    WARNING
  }

  /**
   * Records an event.
   *
   * @param level importance
   * @param event stable name of the event, lower case with underscores
   * @param fields the event's fields, in order; must contain no key or secret
   */
  void record(Level level, String event, LogField... fields);
}
