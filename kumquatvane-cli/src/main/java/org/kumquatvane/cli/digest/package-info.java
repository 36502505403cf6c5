/** The digest command. */
@NullMarked
package org.kumquatvane.cli.digest;

import org.jspecify.annotations.NullMarked;
