/** Reads the parts of settings. */
@NullMarked
package org.kumquatvane.settings.internal;

import org.jspecify.annotations.NullMarked;
