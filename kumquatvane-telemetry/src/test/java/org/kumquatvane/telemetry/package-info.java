@NullMarked
package org.kumquatvane.telemetry;

import org.jspecify.annotations.NullMarked;
