/** Reads and digests the operators' document. */
@NullMarked
package org.kumquatvane.documents;

import org.jspecify.annotations.NullMarked;
