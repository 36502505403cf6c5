/** Evidence on instances, ejection above a floor, and crash fingerprints. */
@NullMarked
package org.kumquatvane.ejection;

import org.jspecify.annotations.NullMarked;
