"""Start ggw-entry from a checkout: the script's own folder is where the package is found."""

from greengagewood.platform.program import main

main()
