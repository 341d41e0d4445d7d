"""Public fakes of the systems around irisshelf."""
