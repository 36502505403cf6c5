/** Event log, counters and their text form. */
@NullMarked
package org.kumquatvane.telemetry;

import org.jspecify.annotations.NullMarked;
