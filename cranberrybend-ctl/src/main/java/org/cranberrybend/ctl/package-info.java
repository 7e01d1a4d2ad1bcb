/** The command line program for operators. */
package org.cranberrybend.ctl;
