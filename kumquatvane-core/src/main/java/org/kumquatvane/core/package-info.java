/** Identifiers, reasons and results shared by every module. */
@NullMarked
package org.kumquatvane.core;

import org.jspecify.annotations.NullMarked;
