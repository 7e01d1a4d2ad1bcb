/** The operators' command line. */
package org.cranberrybend.ctl;
