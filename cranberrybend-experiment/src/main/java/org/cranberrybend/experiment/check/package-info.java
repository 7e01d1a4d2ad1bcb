/** Whole sessions against a running fleet, each with a verdict. */
package org.cranberrybend.experiment.check;
