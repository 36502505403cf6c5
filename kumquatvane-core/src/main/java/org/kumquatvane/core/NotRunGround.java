package org.kumquatvane.core;

/** Why a request counts as not run after a failed attempt. */
public enum NotRunGround {
  /** There is no ground: the request may have run. */
  NONE("none"),
  /** No byte of the request was written. */
  NOTHING_WRITTEN("nothing_written"),
  /** The response of the backend server to this attempt states it. */
  STATED_BY_SERVER("stated_by_server");

  private final String token;

  NotRunGround(String token) {
    this.token = token;
  }

  /**
   * Returns the word for the log.
   *
   * @return a word in lower case
   */
  public String token() {
    return token;
  }
}
