/** Parses the settings of one VM. */
@NullMarked
package org.kumquatvane.settings;

import org.jspecify.annotations.NullMarked;
