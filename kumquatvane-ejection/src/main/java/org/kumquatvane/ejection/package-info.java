/** Outlier ejection above a floor of healthy capacity, and detection of poison requests. */
@NullMarked
package org.kumquatvane.ejection;

import org.jspecify.annotations.NullMarked;
