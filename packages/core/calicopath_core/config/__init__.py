"""Read and check templates, pipelines and endpoints."""
