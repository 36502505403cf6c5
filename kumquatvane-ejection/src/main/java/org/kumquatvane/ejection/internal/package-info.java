/** Evidence, ejection decisions and capacity floor of one service. */
@NullMarked
package org.kumquatvane.ejection.internal;

import org.jspecify.annotations.NullMarked;
